package faktory

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxHashIterations bounds the work that an upstream server can ask for.
const maxHashIterations = 100_000

// hashPassword returns the pwdhash of HELLO for a greeting's salt and number of
// iterations.
func hashPassword(password, salt string, iterations int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range min(iterations, maxHashIterations) - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}
