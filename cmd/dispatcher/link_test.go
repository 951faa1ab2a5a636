package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// externalLinking is the option of go build that links a program against the C library.
const externalLinking = "-ldflags=-linkmode=external"

// The platform of the fleet loads its own library into the dispatcher, which is impossible for
// a statically linked program, and starts no second process. Therefore the command build of
// the deploy file must link against the C library, and its command run must be an exec of the
// program that serves.
func TestDeployedBinary(t *testing.T) {
	root := filepath.Join("..", "..")
	name := deployedProgram(t, root)
	directory := t.TempDir()
	build := exec.Command("go", "build", externalLinking, "-o", directory, "./cmd/"+name)
	build.Dir = root
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s%v", output, err)
	}
	checkDynamicLinking(t, filepath.Join(directory, name))

	// The program serves even if the directory of the handover socket does not exist.
	platform := newPlatformListener(t)
	platform.directory = filepath.Join(directory, "nowhere")
	daemon := newDaemonWithAdmin(t, platform)
	daemon.program = filepath.Join(directory, name)
	daemon.addWorker("s-1", respondDone)
	daemon.start()
}

// deployedProgram returns the name of the program that the deploy file runs, and checks that
// the Makefile builds it in the same way as the deploy file.
func deployedProgram(t *testing.T, root string) (name string) {
	t.Helper()
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	if err != nil {
		t.Fatal(err)
	}
	build := regexp.MustCompile(`CGO_ENABLED=1 go build ` + externalLinking).FindString(deploy.Build)
	if build == "" || !strings.Contains(string(makefile), build) {
		t.Fatalf("build is %q; the Makefile must build the same way", deploy.Build)
	}
	name, found := strings.CutPrefix(deploy.Run, "exec bin/")
	if !found {
		t.Fatalf("run is %q", deploy.Run)
	}
	return name
}

// checkDynamicLinking checks that a program needs the C library and a dynamic loader.
func checkDynamicLinking(t *testing.T, program string) {
	t.Helper()
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	isC := func(library string) bool { return strings.HasPrefix(library, "libc.so") }
	if err != nil || !slices.ContainsFunc(libraries, isC) {
		t.Errorf("%s needs %v, not the C library (%v)", program, libraries, err)
	}
	isInterpreter := func(header *elf.Prog) bool { return header.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(file.Progs, isInterpreter) {
		t.Errorf("%s has no dynamic loader: it is linked statically", program)
	}
}
