package settings

import (
	"fmt"
	"io"
	"os"
	"reflect"
	"time"

	"github.com/BurntSushi/toml"

	"hollyyoke.example/hollyyoke/internal/tomlfile"
)

// Operator is the content of the operator's file, a TOML file with a table for each
// subsystem. Names of keys include their units. The tags of the tables' fields hold
// the descriptions and defaults of the keys.
type Operator struct {
	Connections Connections
	Membership  Membership
	HasFaktory  bool // the file has a table [faktory]
}

// operatorFile is the structure of the operator's file.
type operatorFile struct {
	Connections Connections     `toml:"connections"`
	Membership  Membership      `toml:"membership"`
	Faktory     *toml.Primitive `toml:"faktory"`
}

// nominalDescriptors is the number of descriptors for which the table [connections]
// is checked when the file is read, before the process's actual number is known.
const nominalDescriptors = 1000

// ReadOperator reads and checks the operator's file. Its table [faktory], if there
// is one, is decoded into faktory, or ignored if faktory is nil. Unknown keys are
// errors. The text of an error is one line that names the key.
func ReadOperator(path string, faktory any) (Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, err
	}
	var file operatorFile
	meta, err := toml.Decode(string(text), &file)
	if err != nil {
		return Operator{}, tomlfile.OneLine(err)
	}
	operator := Operator{
		Connections: file.Connections,
		Membership:  file.Membership,
		HasFaktory:  file.Faktory != nil,
	}
	if operator.HasFaktory {
		if faktory == nil {
			faktory = &map[string]any{}
		}
		if err := meta.PrimitiveDecode(*file.Faktory, faktory); err != nil {
			return Operator{}, fmt.Errorf("faktory: %w", tomlfile.OneLine(err))
		}
	}
	if err := tomlfile.CheckKeys(meta); err != nil {
		return Operator{}, err
	}
	if _, err := operator.Connections.LimitsFor(nominalDescriptors); err != nil {
		return Operator{}, fmt.Errorf("connections.%w", err)
	}
	if err := operator.Membership.Check(); err != nil {
		return Operator{}, fmt.Errorf("membership.%w", err)
	}
	return operator, nil
}

func seconds(span float64) time.Duration { return time.Duration(span * float64(time.Second)) }

func milliseconds(span float64) time.Duration { return seconds(span / 1000) }

// explain writes a line for each key of a table, with its value and a description.
func explain(w io.Writer, table string, value any) {
	fields := reflect.ValueOf(value)
	for i := range fields.NumField() {
		field := fields.Type().Field(i)
		help := field.Tag.Get("help")
		if help == "" {
			help = "(like the key for one address, but for all addresses of one prefix)"
		}
		fmt.Fprintf(w, "%s.%s = %v  # %s\n", table, field.Tag.Get("toml"), fields.Field(i).Interface(), help)
	}
}
