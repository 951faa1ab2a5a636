package membership

import (
	"encoding/json"
	"fmt"
)

// hostRecord is a host as the origin lists it. edition makes objects of one host differ.
func hostRecord(name, health string, edition int) Record {
	value := fmt.Sprintf(`{"host":%q,"dial":"10.1.0.18:8080","site":"a","class":"m2","block":3,"health":%q,"share":1.0,"born_ms":%d}`,
		name, health, edition)
	return Record{
		Key:     HostPrefix + name,
		Value:   json.RawMessage(value),
		Deleted: health == healthGone,
		Urgent:  health != healthReady,
	}
}
