package assign

// rankStats counts what all ranked services share.
type rankStats struct {
	// accounts counts the accounts created for waiting organisations.
	accounts uint64
	// visited counts the visits to waiting requests, or to groups of them, by estimates and by the checks of an arrival,
	// scanned the upstreams that were visited to compute the capacity of a service.
	visited, scanned uint64
}
