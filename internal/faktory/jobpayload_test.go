package faktory

import (
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// The job for a request of another front end contains the request's key and its
// whole body, whether the body is UTF-8 or not.
func TestEncodeJobOfAnotherFrontEnd(t *testing.T) {
	for body, want := range map[string]string{
		"pay \"now\"": `"args":["k 1","pay \"now\""]}`,
		"\xff\x00":    `"args":["k 1","/wA="],"custom":{"encoding":"base64"}}`,
	} {
		raw := string(encodeJob(&dispatch.Request{ID: "id-1", Key: "k 1", Body: []byte(body)}, "renewal"))
		if !strings.HasSuffix(raw, want) || jidOf(raw) != "id-1" {
			t.Errorf("%q: %s, want the end %s", body, raw, want)
		}
	}
}
