package admitter_test

import (
	"testing"

	"filberthaven.example/admitter"
)

// BenchmarkAdmit measures the admission of a request that doesn't wait.
func BenchmarkAdmit(b *testing.B) {
	a, err := admitter.New()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		done, err := a.Admit(b.Context(), "cremona")
		if err != nil {
			b.Fatal(err)
		}
		done()
	}
}
