package recording

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"math/rand/v2"
)

// pseudonymizer turns the hashes of tokens into the keys of a recording. If no secret is given, the
// pseudonyms are keyed by a hash of parts of the input, which the recording does not contain. So the
// same input gives the same keys, but someone who has only the recording cannot find out a member's
// number by computing the keys of all numbers.
type pseudonymizer struct {
	mac              hash.Hash
	cache            [1 << 14]cachedPseudonym
	buffer           []byte
	random           *rand.Rand
	zipf             *rand.Zipf // draws synthetic members; nil if they are uniformly distributed
	syntheticMembers int        // number of synthetic members
}

type cachedPseudonym struct{ token, key uint64 }

// keyDomain is hashed with a number, so that the keys of tokens and of synthetic members differ.
type keyDomain byte

const (
	domainToken     keyDomain = 'm'
	domainSynthetic keyDomain = 'x'
)

func newPseudonymizer(importer *importer) *pseudonymizer {
	secretHash := sha256.New()
	io.WriteString(secretHash, "hollyyoke: pseudonyms\n")
	if len(importer.options.Secret) > 0 {
		secretHash.Write(importer.options.Secret)
	} else {
		for _, source := range importer.sources {
			for _, file := range source.files {
				secretHash.Write(file.hasher.secretSample.Sum(nil))
			}
		}
	}
	redacted := &importer.options.Rules.Redacted
	pseudonyms := &pseudonymizer{
		mac:              hmac.New(sha256.New, secretHash.Sum(nil)),
		random:           newRandomStream(importer.options.Seed, "made-up keys"),
		syntheticMembers: redacted.Members,
	}
	if redacted.Skew > 1 {
		pseudonyms.zipf = rand.NewZipf(pseudonyms.random, redacted.Skew, 1, uint64(redacted.Members-1))
	}
	return pseudonyms
}

// keyOf returns the key of an entry, or 0 if the entry has no key.
func (p *pseudonymizer) keyOf(entry *pendingEntry) uint64 {
	switch {
	case entry.noKey:
		return 0
	case entry.repairs&SyntheticKey == 0:
		return p.tokenKey(entry.key)
	case p.zipf != nil:
		return p.hash(p.zipf.Uint64(), domainSynthetic)
	}
	return p.hash(uint64(p.random.IntN(p.syntheticMembers)), domainSynthetic)
}

// tokenKey returns the key of a token, from the cache if possible.
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

// hash returns the keyed hash of a token's hash or a synthetic member's number. It is never 0.
func (p *pseudonymizer) hash(token uint64, domain keyDomain) uint64 {
	var text [9]byte
	binary.LittleEndian.PutUint64(text[:], token)
	text[8] = byte(domain)
	p.mac.Reset()
	p.mac.Write(text[:])
	p.buffer = p.mac.Sum(p.buffer[:0])
	return max(1, binary.LittleEndian.Uint64(p.buffer))
}
