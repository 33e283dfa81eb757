package shell_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"clementinelock/io/shell"
)

// TestCases runs the command line of every folder in cases, and compares the output, the errors and the exit code
// with the expected ones. If UPDATE is set, it rewrites the expected ones.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("cases/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := shell.Main(context.Background(), strings.Fields(read(t, folder, "cmd")), &stdout, &stderr)
			fmt.Fprintf(&stderr, "exit code %d\n", code)
			compare(t, folder, "expout", stdout.String())
			compare(t, folder, "experr", stderr.String())
		})
	}
}

func read(t *testing.T, folder, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func compare(t *testing.T, folder, name, got string) {
	t.Helper()
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if expected := read(t, folder, name); got != expected {
		t.Errorf("%s is\n%s\nexpected\n%s", name, got, expected)
	}
}
