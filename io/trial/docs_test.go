package trial_test

import (
	"os"
	"path/filepath"
	"testing"

	"clementinelock/io/trial"
)

// TestPagesAreFresh checks that the pages made from tables are those that the tables make now.
func TestPagesAreFresh(t *testing.T) {
	for name, data := range trial.Pages() {
		committed, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
		if err != nil {
			t.Fatal(err)
		}
		if string(committed) != string(data) {
			t.Errorf("docs/%s is not what its table makes; run make docs", name)
		}
	}
}
