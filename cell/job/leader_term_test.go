package job

import (
	"slices"
	"testing"
)

// TestTerms guards against taking a record that a leader appends again, or an earlier term, for a term of its own, and against terms without a bound.
func TestTerms(t *testing.T) {
	for _, c := range []struct {
		name  string
		terms []Leader
		// want holds the epochs of the terms.
		want []int64
	}{
		{"one", []Leader{{Epoch: 1, Incarnation: "a/1"}}, []int64{1}},
		{"two", []Leader{{Epoch: 1, Incarnation: "a/1"}, {Epoch: 2, Incarnation: "b/1"}}, []int64{1, 2}},
		{"records of the same term", []Leader{{Epoch: 1, Incarnation: "a/1"}, {Epoch: 2, Incarnation: "b/1"}, {Epoch: 2, Incarnation: "b/1"}}, []int64{1, 2}},
		{"resigned", []Leader{{Epoch: 1, Incarnation: "a/1"}, {Epoch: 1, Successor: "b/1"}, {Epoch: 2, Incarnation: "b/1"}}, []int64{1, 2}},
		{"more than are kept", manyTerms(12), []int64{5, 6, 7, 8, 9, 10, 11, 12}},
	} {
		v := NewView()
		for i := range c.terms {
			if err := apply(v, int64(i), recordOf(t, "leader", &c.terms[i])); err != nil {
				t.Fatal(err)
			}
		}
		var epochs []int64
		for _, term := range v.Terms() {
			epochs = append(epochs, term.Epoch)
			if term.Incarnation == "" || term.Since.IsZero() {
				t.Errorf("%s: term %+v", c.name, term)
			}
		}
		if !slices.Equal(epochs, c.want) {
			t.Errorf("%s: terms %v, want %v", c.name, epochs, c.want)
		}
	}
}

func manyTerms(n int64) []Leader {
	var terms []Leader
	for epoch := range n {
		terms = append(terms, Leader{Epoch: epoch + 1, Incarnation: "a/1"})
	}
	return terms
}
