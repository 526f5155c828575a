; Two machines are to be repaired.
(servers "resale" (by "ops")
  (host "h02" (state drain))
  (host "h13" (state drain)))
