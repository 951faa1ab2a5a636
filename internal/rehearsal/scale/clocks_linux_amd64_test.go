package scale

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

// aheadOriginKind is the kind of a child process that runs an origin whose wall clock is ahead of that of the others.
const aheadOriginKind = "origin whose clock is ahead"

func init() { childKinds[aheadOriginKind] = runAheadOrigin }

// runAheadOrigin runs an origin, under a tracer that makes its wall clock go ahead, until the origin exits.
func runAheadOrigin() error {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childEnv+"=origin")
	command.Stdin = os.Stdin
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	ahead := faultinject.Step{Offset: time.Minute}
	process, err := faultinject.Start(command, faultinject.Plan{Seed: 1, Steps: []faultinject.Step{ahead}})
	if err != nil {
		return err
	}
	<-process.Done()
	return nil
}

// Guards against a run that is misjudged while the wall clock is slewed or steps: times of different processes were
// compared by the wall clock that each had read, so that a version seemed applied before it was published.
func TestRunWithWallClocksThatDiffer(t *testing.T) {
	programs := testPrograms()
	programs.Origin[1] = childEnv + "=" + aheadOriginKind
	checkPropagation(t, execute(t, readScenario(t, "ci.toml"), MechanismDiscovery, programs))
}
