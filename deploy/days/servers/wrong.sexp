; Meant to drain h06 to h08; a whole zone was named.
(servers "resale" (by "ops")
  (host "h06" (state drain)) (host "h07" (state drain)) (host "h08" (state drain))
  (host "h09" (state drain)) (host "h10" (state drain)))
