// Package rangecheck checks that numbers from scenario files are within their limits. It does not read the files or set
// defaults.
package rangecheck

import "fmt"

// Between returns nil if min <= value <= max. Otherwise, and also if value is NaN, it returns an error that names the key
// and the limits.
func Between(key string, value, min, max float64) error {
	if value >= min && value <= max {
		return nil
	}
	return fmt.Errorf("%s: %g is not between %g and %g", key, value, min, max)
}
