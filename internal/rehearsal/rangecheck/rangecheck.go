// Package rangecheck checks the numbers of scenario files. It reads no file and sets no defaults.
package rangecheck

import "fmt"

// Between returns nil if min <= value <= max. Otherwise, also for NaN, it returns an error that names the key.
func Between(key string, value, min, max float64) error {
	if value >= min && value <= max {
		return nil
	}
	return fmt.Errorf("%s: %g is not between %g and %g", key, value, min, max)
}
