package goldentest

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
)

// The types below have the kinds of fields that encoders treat in a special way.

type inner struct {
	Deep  float64 `json:"deep" toml:"deeper"`
	Above *sample `json:"above"`
}

type promoted struct {
	Raised bool `json:"raised"`
}

type sample struct {
	promoted
	Plain   string
	List    []inner              `json:"list,omitempty"`
	ByName  map[string]time.Time `json:"by_name"`
	Raw     json.RawMessage      `json:"raw"`
	Skipped int                  `json:"-"`
	Span    time.Duration        `json:"span"`
	hidden  int
}

// Keys lists the keys that an encoder writes, by the names in its struct tags.
func TestKeysAreThoseOfTheEncoder(t *testing.T) {
	got := strings.Join(Keys(reflect.TypeFor[sample](), "json"), "\n")
	want := strings.Join([]string{
		"Plain: string",
		"by_name{}: time",
		"list[].above: nested again",
		"list[].deep: number",
		"raised: boolean",
		"raw: any",
		"span: integer",
	}, "\n")
	if got != want {
		t.Errorf("keys:\n%s\nwant:\n%s", got, want)
	}
	ofOtherTag := Keys(reflect.TypeFor[inner](), "toml")
	if !slices.Contains(ofOtherTag, "deeper: number") || !slices.Contains(ofOtherTag, "Above.Skipped: integer") {
		t.Errorf("keys of another tag: %s", ofOtherTag)
	}
}

// Effects lists how values change without a key, and names no Go fields.
func TestEffectsNameValuesNotFields(t *testing.T) {
	decode := func(text []byte) (any, error) {
		decoded := sample{hidden: 3}
		err := json.Unmarshal(text, &decoded)
		return decoded, err
	}
	document := map[string]any{"raised": true, "list": []any{map[string]any{"deep": 2.5}}, "other": 1}
	got := Effects(t, document, json.Marshal, decode)
	want := "list: 2.5 becomes none\nlist[0].deep: 2.5 becomes 0\nother: no effect\nraised: true becomes false\n"
	if got != want {
		t.Errorf("effects:\n%s\nwant:\n%s", got, want)
	}
}

// Commands lists everything that decides how flags, arguments and commands are written.
func TestCommandsListFlagsAndArguments(t *testing.T) {
	var commandLine struct {
		Mode string        `enum:"a,b" default:"a" env:"MODE" short:"m" placeholder:"M"`
		Wait time.Duration `hidden:""`
		Play struct {
			Files []string `arg:"" optional:""`
		} `cmd:"" default:"withargs"`
	}
	parser, err := kong.New(&commandLine)
	if err != nil {
		t.Fatal(err)
	}
	got := Lines(Commands(parser.Model))
	for _, want := range []string{
		`--mode string default="a" enum=a,b env=MODE short=-m placeholder=M`,
		"--wait duration hidden",
		"play argument 1 files list of string",
		"play default=withargs:",
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("no line %q in:\n%s", want, got)
		}
	}
}

// Difference shows the lines of both texts, and reports equal lines in another order.
func TestDifferenceShowsBothSides(t *testing.T) {
	for _, test := range []struct{ want, got, difference string }{
		{"a\nb\n", "a\nb\n", ""},
		{"a\nb\n", "a\nc\n", "-b\n+c\n"},
		{"a\na\n", "a\n", "-a\n"},
		{"a\nb\n", "b\na\n", "the same lines in another order\n"},
	} {
		if got := Difference(test.want, test.got); got != test.difference {
			t.Errorf("%q and %q: %q, want %q", test.want, test.got, got, test.difference)
		}
	}
}
