package childprocess

import "testing"

// Output without a limit keeps all writes. With a limit, it keeps the writes up to the one that reaches the limit.
func TestOutputLimit(t *testing.T) {
	for limit, want := range map[int]string{0: "abcdef", 3: "abcd"} {
		output := Output{Limit: limit}
		for _, text := range []string{"ab", "cd", "ef"} {
			written, err := output.Write([]byte(text))
			if written != len(text) || err != nil {
				t.Errorf("limit %d: wrote %d, %v; want %d and no error", limit, written, err, len(text))
			}
		}
		if got := output.String(); got != want {
			t.Errorf("limit %d: %q, want %q", limit, got, want)
		}
	}
}
