(servers "resale" (by "ops"))
