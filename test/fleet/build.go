package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build compiles a package of this module into folder and returns the path of
// the binary. Flags are passed on to go build.
func Build(folder, name, pkg string, flags ...string) (string, error) {
	program := filepath.Join(folder, name)
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	args := append([]string{"build", "-o", program}, flags...)
	command := exec.Command("go", append(args, pkg)...)
	command.Dir = root
	command.Env = append(os.Environ(), "GOFLAGS=")
	if out, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w\n%s", pkg, err, out)
	}
	return program, nil
}

func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", err
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}
