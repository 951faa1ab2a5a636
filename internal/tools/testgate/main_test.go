package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	passes = `{"Action":"run","Package":"m/a","Test":"TestGood"}
{"Action":"pass","Package":"m/a","Test":"TestGood"}
`
	fails = `{"Action":"run","Package":"m/a","Test":"TestBad"}
{"Action":"fail","Package":"m/a","Test":"TestBad"}
{"Action":"fail","Package":"m/a"}
`
	subtestFails = `{"Action":"run","Package":"m/a","Test":"TestBad"}
{"Action":"run","Package":"m/a","Test":"TestBad/part"}
{"Action":"fail","Package":"m/a","Test":"TestBad/part"}
{"Action":"fail","Package":"m/a","Test":"TestBad"}
{"Action":"fail","Package":"m/a"}
`
	panics = `{"Action":"run","Package":"m/a","Test":"TestDead"}
{"Action":"fail","Package":"m/a"}
`
	noBuild     = `{"Action":"build-fail","Package":"m/b"}` + "\n"
	packageOnly = `{"Action":"fail","Package":"m/c"}` + "\n"
)

func TestJudge(t *testing.T) {
	bad := entry{Package: "a", Test: "TestBad", Cause: "a cause", Issue: "issue 1"}
	part := entry{Package: "a", Test: "TestBad/part", Cause: "a cause", Issue: "issue 1"}
	for _, c := range []struct {
		name, events string
		known        []entry
		want         string // part of the error; empty: the run passes
	}{
		{"all pass", passes, nil, ""},
		{"no test", "", nil, "no test ran"},
		{"a failure", passes + fails, nil, "m/a TestBad failed"},
		{"a listed failure", passes + fails, []entry{bad}, ""},
		{"a listed subtest", passes + subtestFails, []entry{part}, ""},
		{"a listed test whose subtest fails", passes + subtestFails, []entry{bad}, "m/a TestBad/part failed"},
		{"a listed test that passes", passes, []entry{{Package: "a", Test: "TestGood"}}, "remove the entry"},
		{"an entry without a test", passes, []entry{bad}, "matches no test"},
		{"an entry of another package", passes + fails, []entry{{Package: "b", Test: "TestBad"}}, "matches no test"},
		{"a panic beside a listed failure", passes + fails + panics, []entry{bad}, "TestDead did not end"},
		{"no build beside a listed failure", passes + fails + noBuild, []entry{bad}, "m/b does not build"},
		{"a package that fails by itself", passes + fails + packageOnly, []entry{bad}, "m/c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newResults(io.Discard)
			if err := r.read(strings.NewReader(c.events)); err != nil {
				t.Fatal(err)
			}
			err := r.judge(c.known, nil, io.Discard)
			switch {
			case c.want == "" && err != nil:
				t.Errorf("fails: %v", err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("%v, not %q", err, c.want)
			}
		})
	}
}

func TestReadList(t *testing.T) {
	line := "internal/core | TestX | a cause | issue 27\n"
	for _, c := range []struct {
		name, text, want string
		entries          int
	}{
		{"comments and one entry", "# a comment\n\n" + line, "", 1},
		{"three", strings.Repeat(line, 3), "", 3},
		{"too many", strings.Repeat(line, 4), "3 at most", 0},
		{"a part missing", "internal/core | TestX | a cause\n", ":1: not of the form", 0},
		{"an empty part", "# x\ninternal/core |  | a cause | issue 27\n", ":2: not of the form", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			list, err := readList(path)
			if len(list) != c.entries || (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("%d entries, %v", len(list), err)
			}
		})
	}
	if list, err := readList(filepath.Join(t.TempDir(), "none")); err != nil || len(list) != 0 {
		t.Errorf("no file: %v, %v", list, err)
	}
}
