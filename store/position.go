package store

// Position is a version of the store together with the era in which the store issued it. The era rises each time the
// store is restored from a copy; versions go back then and are issued again. Positions are ordered like integers: by era,
// then by version. In era 0, that of a store that states no era, a position equals its version.
//
// It is an alias of an integer, so that positions can be stored, sent and compared wherever versions were before.
type Position = int64

// eraShift is the number of bits of a version. At 10,000 writes per second, versions reach 2^40 after three years.
const eraShift = 40

// MaxEra is the highest era that a position can hold.
const MaxEra = 1<<(63-eraShift) - 1

// NewPosition returns the position of a version in an era.
func NewPosition(era, version int64) Position {
	return min(max(era, 0), MaxEra)<<eraShift + version
}

// EraOf returns the era of a position.
func EraOf(p Position) int64 { return p >> eraShift }

// VersionOf returns the version of a position within its era.
func VersionOf(p Position) int64 { return p & (1<<eraShift - 1) }
