// Package measurer drives load from seeds and reports histograms.
package measurer
