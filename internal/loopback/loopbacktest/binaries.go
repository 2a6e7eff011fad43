// Package loopbacktest builds the project's programs for tests that run them as separate processes.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(loopbacktest.Run(m, &binaries)) }
package loopbacktest

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Run builds all programs into a temporary directory, stores its path in *directory and runs the
// tests. It returns the exit code for os.Exit.
func Run(m *testing.M, directory *string) int {
	flag.Parse()
	dir, err := os.MkdirTemp("", "yarrowgrade-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	const programs = "yarrowgrade.example/yarrowgrade/cmd/..."
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), programs)
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	*directory = dir
	return m.Run()
}
