// Package events defines the numbered log events of gypsumspan and writes them
// through logrus.
//
// Every event is a variable of type *Event in this package with a number, a
// level, a name, a message and the names of its fields. docs/events.md lists
// them for operators; a test holds the page against this package.
//
// Events that callers or targets can cause have a rate limit of their own.
// Lines above the limit are counted, and the next line of the event reports
// the count in the field "suppressed".
package events
