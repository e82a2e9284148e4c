// Package regr compares benchmark scores from the journal, so that a change made for
// one deployment is not merged unnoticed if it makes another one worse. The journal
// is a folder with one JSON file per benchmark run. A score is a run in which the
// benchmark sends several days of load to one deployment, called a site.
package regr
