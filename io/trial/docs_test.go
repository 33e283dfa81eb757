package trial_test

import (
	"os"
	"path/filepath"
	"testing"

	"clementinelock/io/trial"
)

// TestPagesAreFresh guards against a change of a table without generating its page again: the committed pages
// must equal those generated now.
func TestPagesAreFresh(t *testing.T) {
	for name, data := range trial.Pages() {
		committed, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
		if err != nil {
			t.Fatal(err)
		}
		if string(committed) != string(data) {
			t.Errorf("docs/%s differs from the page generated from its table; run make docs", name)
		}
	}
}
