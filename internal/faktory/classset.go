package faktory

import (
	"fmt"

	"hollyyoke.example/hollyyoke/decision"
)

// Prepare adds worker kinds to the settings for workers that fetch some classes
// only: kind number len(KindNames)+mask runs the classes whose bits are set in
// mask. Thus the decisions themselves keep a job from a worker that does not
// fetch its queue.
func Prepare(settings *decision.Settings) error {
	if len(settings.Classes) > maxClasses {
		return fmt.Errorf("settings: classes: the Faktory front takes %d at most", maxClasses)
	}
	firstClassKind := len(settings.KindNames)
	for i := range settings.Classes {
		class := &settings.Classes[i]
		if class.Kinds == nil {
			for kind := range firstClassKind {
				class.Kinds = append(class.Kinds, kind)
			}
		}
		for mask := range 1 << len(settings.Classes) {
			if mask>>i&1 == 1 {
				class.Kinds = append(class.Kinds, firstClassKind+mask)
			}
		}
	}
	return nil
}
