package store

// A table that comes back from an older copy has lost its newest writes, and gives their
// version numbers out again. It then has a new era. The versions of this package contain
// the era, so that those of a later era are higher than all before.

// eraShift is the number of bits of a version that hold its number within the era.
const eraShift = 40

// VersionIn returns the version with a number in an era.
func VersionIn(era, number int64) int64 { return era<<eraShift | number }

// EraOf returns the era of a version.
func EraOf(version int64) int64 { return version >> eraShift }

// NumberOf returns the number of a version within its era.
func NumberOf(version int64) int64 { return version & (1<<eraShift - 1) }
