package faktory

import (
	"fmt"

	"hollyyoke.example/hollyyoke/decision"
)

// maxClasses bounds the number of worker kinds that AddWorkerKinds adds: one for each set
// of classes, so at most 256.
const maxClasses = 8

// classSet is a set of classes: bit i is set if it contains the class with index i.
type classSet int

// has reports whether the set contains a class.
func (s classSet) has(class int) bool { return s>>class&1 == 1 }

// with returns the set with one more class.
func (s classSet) with(class int) classSet { return s | 1<<class }

// AddWorkerKinds adds worker kinds to the settings, one for each classSet: kind
// len(KindNames)+set runs the classes of set. With these, the decision machine
// itself never assigns a job to a worker that does not fetch its queue.
func AddWorkerKinds(settings *decision.Settings) error {
	if len(settings.Classes) > maxClasses {
		return fmt.Errorf("settings: classes: the Faktory front end takes %d at most", maxClasses)
	}
	firstClassKind := len(settings.KindNames)
	for i := range settings.Classes {
		class := &settings.Classes[i]
		if class.Kinds == nil {
			for kind := range firstClassKind {
				class.Kinds = append(class.Kinds, kind)
			}
		}
		for set := range classSet(1) << len(settings.Classes) {
			if set.has(i) {
				class.Kinds = append(class.Kinds, firstClassKind+int(set))
			}
		}
	}
	return nil
}
