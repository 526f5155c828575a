; One is drained, one is slow and weighed by hand, one is not to be learnt down.
(servers "resale" (by "ops")
  (host "h02" (state drain))
  (pin "h06" (weight 0.4) (owner "ops") (reason "a slow disk") (until "2099-01-01T00:00:00Z"))
  (bounds "h09" (floor 0.8) (cap 1.5)))
