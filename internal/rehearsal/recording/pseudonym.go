package recording

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"math/rand/v2"
)

// pseudonymizer turns hashed tokens into the keys of a recording. Without a given secret the
// pseudonyms are keyed by a hash of parts of the input that the recording does not contain:
// whoever has the recording alone cannot try out member numbers, and the same input gives the
// same keys.
type pseudonymizer struct {
	mac     hash.Hash
	cache   [1 << 14]cachedPseudonym
	buffer  []byte
	random  *rand.Rand
	zipf    *rand.Zipf // nil: synthetic members are uniformly distributed
	members int        // synthetic ones
}

type cachedPseudonym struct{ token, key uint64 }

// keyDomain separates the pseudonyms of tokens from those of synthetic members.
type keyDomain byte

const (
	domainToken     keyDomain = 'm'
	domainSynthetic keyDomain = 'x'
)

func newPseudonymizer(importer *importer) *pseudonymizer {
	secret := sha256.New()
	io.WriteString(secret, "hollyyoke: pseudonyms\n")
	if len(importer.options.Secret) > 0 {
		secret.Write(importer.options.Secret)
	} else {
		for _, source := range importer.sources {
			for _, file := range source.files {
				secret.Write(file.digest.secretSample.Sum(nil))
			}
		}
	}
	redacted := &importer.options.Rules.Redacted
	pseudonyms := &pseudonymizer{
		mac:     hmac.New(sha256.New, secret.Sum(nil)),
		random:  newRandomStream(importer.options.Seed, "made-up keys"),
		members: redacted.Members,
	}
	if redacted.Skew > 1 {
		pseudonyms.zipf = rand.NewZipf(pseudonyms.random, redacted.Skew, 1, uint64(redacted.Members-1))
	}
	return pseudonyms
}

// keyOf returns the key of an entry; 0: it has none.
func (p *pseudonymizer) keyOf(entry *pendingEntry) uint64 {
	switch {
	case entry.noKey:
		return 0
	case entry.repairs&SyntheticKey == 0:
		return p.tokenKey(entry.key)
	case p.zipf != nil:
		return p.hash(p.zipf.Uint64(), domainSynthetic)
	}
	return p.hash(uint64(p.random.IntN(p.members)), domainSynthetic)
}

// tokenKey is hash for a token, with a cache.
func (p *pseudonymizer) tokenKey(token uint64) uint64 {
	cached := &p.cache[token%uint64(len(p.cache))]
	if cached.token == token && cached.key != 0 {
		return cached.key
	}
	key := p.hash(token, domainToken)
	cached.token = token
	cached.key = key
	return key
}

// hash returns the keyed hash of a token or a synthetic member, which is never 0.
func (p *pseudonymizer) hash(token uint64, domain keyDomain) uint64 {
	var text [9]byte
	binary.LittleEndian.PutUint64(text[:], token)
	text[8] = byte(domain)
	p.mac.Reset()
	p.mac.Write(text[:])
	p.buffer = p.mac.Sum(p.buffer[:0])
	return max(1, binary.LittleEndian.Uint64(p.buffer))
}
