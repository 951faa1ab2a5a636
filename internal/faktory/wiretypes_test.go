package faktory

import (
	"encoding/json"
	"testing"
)

// An answer to input of the wrong type contains the error of encoding/json, and
// with it the name or the fields of the Go type into which the input was decoded.
// Renaming such a type, or a field of an anonymous struct, would change the answer.
func TestDecodingErrorsSpellGoTypes(t *testing.T) {
	for _, test := range []struct {
		text string
		into any
		want string
	}{
		{`5`, new(hello), `json: cannot unmarshal number into Go value of type faktory.hello`},
		{`5`, new(work), `json: cannot unmarshal number into Go value of type faktory.work`},
		{`{"custom":5}`, new(work), `json: cannot unmarshal number into Go struct field work.custom of type struct { LeftMs float64 "json:\"time_left_ms\""; EffortUs float64 "json:\"effort_us\""; Slots float64 "json:\"slots\""; Key string "json:\"key\""; Repeat bool "json:\"repeat\"" }`},
		{`{"custom":{"key":5}}`, new(work), `json: cannot unmarshal number into Go struct field .custom.key of type string`},
		{`5`, new(word), `json: cannot unmarshal number into Go value of type faktory.word`},
		{`5`, new(beatMessage), `json: cannot unmarshal number into Go value of type struct { Wid string "json:\"wid\""; State string "json:\"current_state\"" }`},
		{`5`, new(mutateMessage), `json: cannot unmarshal number into Go value of type struct { Cmd string "json:\"cmd\""; Target string "json:\"target\""; Filter struct { Jobtype string "json:\"jobtype\""; Jids []string "json:\"jids\""; Regexp string "json:\"regexp\"" } "json:\"filter\"" }`},
		{`{"filter":5}`, new(mutateMessage), `json: cannot unmarshal number into Go struct field .filter of type struct { Jobtype string "json:\"jobtype\""; Jids []string "json:\"jids\""; Regexp string "json:\"regexp\"" }`},
	} {
		err := json.Unmarshal([]byte(test.text), test.into)
		if err == nil || err.Error() != test.want {
			t.Errorf("%s: %v, want %s", test.text, err, test.want)
		}
	}
}
