package recording

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

const (
	tokenEntries    = 8   // number of entries with a member's token; they come first in memberLog
	redactedEntries = 500 // number of entries with a redacted member, which follow
)

// memberLog returns a log in which the path contains the member's token. The first entries have the tokens
// of three members and a partly masked token, which counts as a token too. They are followed by entries
// whose token is redacted completely, and by a malformed line.
func memberLog() string {
	var text strings.Builder
	tokens := [tokenEntries]string{"880017", "880018", "880017", "a9f5e1c0d2", "a9f5e1c0d2", "88***", "88***", "880018"}
	for i, token := range tokens {
		completed := logStart.Add(time.Duration(i) * time.Second)
		text.WriteString(combinedLine(completed, "GET", "/members/"+token+"/status?token=hunter2", 0.01))
	}
	redacted := []string{"***", "xxxx", "-", "%2A%2A", "REDACTED"}
	for i := range redactedEntries {
		text.WriteString(statusLine(logStart.Add(time.Minute), redacted[i%len(redacted)], 0.01))
	}
	text.WriteString("10.1.2.3 - - [29/Nov/2026:06:00:00 +0000] \"GET /members/880019/status\" 200 1 \"-\" \"-\" 0.1\n")
	return text.String()
}

// Entries with equal tokens have equal keys, and entries with different tokens have different ones.
func TestKeysFollowTokens(t *testing.T) {
	entries := importTexts(t, Options{Seed: 1}, memberLog()).entries
	var keys [tokenEntries]uint64
	for i := range keys {
		keys[i] = entries[i].Key
	}
	for _, pair := range [][2]int{{0, 2}, {1, 7}, {3, 4}, {5, 6}} {
		if keys[pair[0]] != keys[pair[1]] {
			t.Errorf("entries %d and %d have the same token, but different keys: %x", pair[0], pair[1], keys)
		}
	}
	for _, pair := range [][2]int{{0, 1}, {5, 0}} {
		if keys[pair[0]] == keys[pair[1]] {
			t.Errorf("entries %d and %d have different tokens, but equal keys: %x", pair[0], pair[1], keys)
		}
	}
}

// countKeys returns the number of entries by key. The test fails if an entry has no synthetic key.
func countKeys(t *testing.T, entries []Entry) map[uint64]int {
	t.Helper()
	entriesByKey := map[uint64]int{}
	for _, entry := range entries {
		if entry.Repairs&SyntheticKey == 0 || entry.Key == 0 {
			t.Fatalf("%+v, want a synthetic key", entry)
		}
		entriesByKey[entry.Key]++
	}
	return entriesByKey
}

// An entry whose member is redacted gets the key of a synthetic member. Synthetic members are uniformly
// distributed by default.
func TestRedactedMembersGetSyntheticKeys(t *testing.T) {
	imported := importTexts(t, Options{Seed: 1}, memberLog())
	keys := countKeys(t, imported.entries[tokenEntries:])
	if len(keys) < 45 || len(keys) > 50 {
		t.Errorf("%d synthetic keys, want 45 to 50", len(keys))
	}
	report := imported.report
	if report.Repairs["key made up"] != redactedEntries || report.SyntheticKeys != "uniform over 50 members" {
		t.Errorf("repairs %v, distribution %s", report.Repairs, report.SyntheticKeys)
	}
}

// With a skew, synthetic members follow a Zipf distribution.
func TestSkewedSyntheticKeys(t *testing.T) {
	skewed := testRules(t, strings.Replace(rulesText, "members = 50", "members = 50\nskew = 1.5", 1))
	imported := importTexts(t, Options{Seed: 1, Rules: skewed}, memberLog())
	maxEntries := 0
	for _, entries := range countKeys(t, imported.entries[tokenEntries:]) {
		maxEntries = max(maxEntries, entries)
	}
	if maxEntries < 100 || imported.report.SyntheticKeys != "Zipf with exponent 1.5 over 50 members" {
		t.Errorf("the most frequent of the skewed keys has %d of %d entries, want 100 or more; distribution %s", maxEntries, redactedEntries, imported.report.SyntheticKeys)
	}
}

// Neither the recording nor the report contains a member's token, a query, a path or a client's address.
func TestNoMemberDataIsKept(t *testing.T) {
	imported := importTexts(t, Options{Seed: 1}, memberLog())
	content := zstdDecompressed(t, imported.file)
	reportText, err := json.Marshal(imported.report)
	if err != nil {
		t.Fatal(err)
	}
	for _, secret := range []string{"88001", "a9f5e1c0d2", "88***", "hunter2", "10.1.2.3", "/members/"} {
		if bytes.Contains(content, []byte(secret)) || bytes.Contains(reportText, []byte(secret)) {
			t.Errorf("%q is in the recording or the report", secret)
		}
	}
}

// Pseudonyms are derived with a key: a hash of parts of the input
// by default or, if one is given, the secret.
func TestPseudonymsAreKeyedByInputOrSecret(t *testing.T) {
	text := memberLog()
	otherText := text + "\n# more\n"
	firstKey := func(options Options, text string) uint64 { return importTexts(t, options, text).entries[0].Key }
	byInput := firstKey(Options{Seed: 1}, text)
	if firstKey(Options{Seed: 1}, otherText) == byInput {
		t.Error("the pseudonyms of different inputs are equal")
	}
	withSecret := Options{Seed: 1, Secret: []byte("0123456789abcdef")}
	bySecret := firstKey(withSecret, text)
	if firstKey(withSecret, otherText) != bySecret || bySecret == byInput {
		t.Error("the pseudonyms depend on the input, although a secret is given, or do not depend on the secret")
	}
}
