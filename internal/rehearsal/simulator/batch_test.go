package simulator

import (
	"reflect"
	"runtime"
	"testing"
)

// The results of many runs do not depend on the number of cores, and the worst come first.
func TestRunAll(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	list := []Scenario{readScenario(t, "day"), readScenario(t, "faults")}
	for i := range list {
		list[i].LengthS = 10
	}
	seeds := Seeds(5, 6)
	runtime.GOMAXPROCS(8)
	runs := 0
	wide, err := RunAll(list, seeds, func() { runs++ })
	if err != nil || runs != 12 {
		t.Fatalf("%d runs, %v", runs, err)
	}
	runtime.GOMAXPROCS(1)
	narrow, _ := RunAll(list, seeds, nil)
	if !reflect.DeepEqual(wide, narrow) {
		t.Error("the results differ by the number of cores")
	}
	if wide[0][1].Seed != 6 || wide[1][0].Scenario != "faults" {
		t.Errorf("out of place: %+v", wide[0][1])
	}
	wide[0][3].Violations = []string{"a rule"}
	worst := Worst(list, wide, 4)
	if len(worst) != 4 || worst[0].Result.Seed != 8 || worst[1].Result.Score > worst[2].Result.Score {
		t.Errorf("the worst: %+v", worst)
	}
	bad := list[0]
	bad.Classes = nil
	if _, err := RunAll([]Scenario{bad}, seeds, nil); err == nil {
		t.Error("a scenario without classes was run")
	}
}
