package recording

import "testing"

// Guards against targets that end in an empty query. In JSON logs, as in other formats, "?" and "?-" mean
// that there is no query.
func TestEmptyQueryOfJSONLogIsDropped(t *testing.T) {
	for query, want := range map[string]string{"": "/a", "-": "/a", "?": "/a", "?-": "/a", "?x=1": "/a?x=1", "x=1": "/a?x=1"} {
		line := `{"time":1796104801,"method":"GET","target":"/a","q":"` + query + `"}`
		got, err := parseLine(t, "json:time=time,method=method,target=target,query=q", line)
		if err != nil || got.Target != want {
			t.Errorf("query %q: %q, %v; want %q", query, got.Target, err, want)
		}
	}
}
