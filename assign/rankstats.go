package assign

// rankStats counts what ranked services decide.
type rankStats struct {
	// accounts counts the accounts created for waiting organisations.
	accounts uint64
}
