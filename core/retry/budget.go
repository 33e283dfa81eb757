package retry

import "cmp"

// defaultMaxTokens is how many unspent extra attempts a budget keeps.
const defaultMaxTokens = 10

// Budget earns a part of an extra attempt with each first attempt; Ratio is set before use.
type Budget struct {
	Ratio float64
	// MaxTokens is how many unspent extra attempts are kept; 0 stands for the package's own bound.
	MaxTokens     float64
	tokens        float64
	extraAttempts uint64
	firstAttempts uint64
}

// RecordFirst notes a first attempt.
func (b *Budget) RecordFirst() {
	b.firstAttempts++
	b.tokens = min(cmp.Or(b.MaxTokens, defaultMaxTokens), b.tokens+b.Ratio)
}

// Spend takes one extra attempt out of the budget; it returns false when none is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.extraAttempts++
	return true
}

// SetInitial lets a budget that has earned nothing yet begin with a number of extra attempts.
func (b *Budget) SetInitial(tokens float64) {
	if b.firstAttempts == 0 {
		b.tokens = tokens
	}
}

// Counts returns the first attempts and the extra ones.
func (b *Budget) Counts() (first, extra uint64) {
	return b.firstAttempts, b.extraAttempts
}
