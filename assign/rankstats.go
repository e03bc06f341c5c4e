package assign

// rankStats counts what all ranked services share.
type rankStats struct {
	// accounts counts the accounts created for waiting organisations.
	accounts uint64
}
