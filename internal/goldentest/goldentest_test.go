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

func TestKeysAreThoseOfTheEncoder(t *testing.T) {
	got := strings.Join(Keys(reflect.TypeFor[sample](), "json"), "\n")
	want := "Plain: string\nby_name{}: time\nlist[].above: nested again\nlist[].deep: number\nraised: boolean\nraw: any\nspan: integer"
	if got != want {
		t.Errorf("keys:\n%s\nwant:\n%s", got, want)
	}
	if got := Keys(reflect.TypeFor[inner](), "toml"); !slices.Contains(got, "deeper: number") || !slices.Contains(got, "Above.Skipped: integer") {
		t.Errorf("keys of another tag: %s", got)
	}
}

func TestEffectsNameValuesNotFields(t *testing.T) {
	decode := func(text []byte) (any, error) {
		s := sample{hidden: 3}
		err := json.Unmarshal(text, &s)
		return s, err
	}
	document := map[string]any{"raised": true, "list": []any{map[string]any{"deep": 2.5}}, "other": 1}
	got := Effects(t, document, json.Marshal, decode)
	want := "list: 2.5 becomes none\nlist[0].deep: 2.5 becomes 0\nother: no effect\nraised: true becomes false\n"
	if got != want {
		t.Errorf("effects:\n%s\nwant:\n%s", got, want)
	}
}

func TestCommandsTellFlagsAndArguments(t *testing.T) {
	var c struct {
		Mode string        `enum:"a,b" default:"a" env:"MODE" short:"m" placeholder:"M"`
		Wait time.Duration `hidden:""`
		Play struct {
			Files []string `arg:"" optional:""`
		} `cmd:"" default:"withargs"`
	}
	parser, err := kong.New(&c)
	if err != nil {
		t.Fatal(err)
	}
	got := Lines(Commands(parser.Model))
	for _, want := range []string{`--mode string default="a" enum=a,b env=MODE short=-m placeholder=M`, "--wait duration hidden",
		"play argument 1 files list of string", "play default=withargs:"} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("no line %q in:\n%s", want, got)
		}
	}
}

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
