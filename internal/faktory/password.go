package faktory

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxHashIterations bounds the CPU time that an upstream server can make this
// process spend on the hash.
const maxHashIterations = 100_000

// hashPassword returns the pwdhash of HELLO for the salt and the number of
// iterations of a greeting.
func hashPassword(password, salt string, iterations int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range min(iterations, maxHashIterations) - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}
