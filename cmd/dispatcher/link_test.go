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

// The fleet's platform loads a library of its own into the dispatcher, which a static
// program would not take, and starts no second process: build links against the C
// library, and run ends by exec in the binary that serves.
func TestDeployedBinary(t *testing.T) {
	root := filepath.Join("..", "..")
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	if err != nil {
		t.Fatal(err)
	}
	flags := regexp.MustCompile(`CGO_ENABLED=1 go build -ldflags=-linkmode=external`).FindString(deploy.Build)
	if flags == "" || !strings.Contains(string(makefile), flags) {
		t.Fatalf("build is %q; the Makefile must build the same way", deploy.Build)
	}
	name, ok := strings.CutPrefix(deploy.Run, "exec bin/")
	if !ok {
		t.Fatalf("run is %q", deploy.Run)
	}
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", dir, "./cmd/"+name)
	cmd.Dir, cmd.Env = root, append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	f, err := elf.Open(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("%s needs %v, not the C library (%v)", name, libraries, err)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Errorf("%s names no loader: it is linked statically", name)
	}
	// And it serves, though the directory of the handover socket cannot be used.
	usual := builtProgram
	builtProgram = filepath.Join(dir, name)
	defer func() { builtProgram = usual }()
	k := newPlatformListener(t)
	k.directory = filepath.Join(dir, "nowhere")
	d := newDaemonWithAdmin(t, k)
	d.addWorker("s-1", respondDone)
	d.start()
}
