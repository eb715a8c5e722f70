// Package rulesfile parses the operators' rules file: YAML with one rule per
// line, each with a comment that names who requested it. A file is accepted or
// rejected as a whole, and the result depends on its bytes alone.
package rulesfile

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"strings"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/yamldoc"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// MaxBytes is the maximum size of a rules file, in bytes, that the platform stores.
const MaxBytes = 1 << 20

// ErrInvalid is joined with the errors of an invalid file, each of which is a
// *yamldoc.FieldError.
var ErrInvalid = eris.New("invalid rules file")

// Parse validates a file and returns its rules. The name appears in errors. It
// fails with ErrInvalid.
func Parse(name string, revision uint64, content []byte) (*tarragonwell.RuleSet, error) {
	p := &parser{
		builder: newBuilder(),
	}
	p.parseFile(content)
	if len(p.errs) > 0 {
		return nil, invalidFileError(name, p.errs)
	}
	set := p.builder.set
	set.Version = VersionOf(revision, content)
	set.Content = bytes.Clone(content)
	return set, nil
}

// VersionOf returns the version of a file: its revision and the SHA-256 digest of
// its content.
func VersionOf(revision uint64, content []byte) tarragonwell.RulesVersion {
	digest := sha256.Sum256(content)
	return tarragonwell.RulesVersion{
		Revision: revision,
		Digest:   digest[:],
	}
}

func invalidFileError(name string, errs []*yamldoc.FieldError) error {
	joined := []error{ErrInvalid}
	for _, e := range errs {
		e.File = name
		joined = append(joined, e)
	}
	return errors.Join(joined...)
}

// parser parses the lines of one file and collects their errors.
type parser struct {
	builder *builder
	errs    []*yamldoc.FieldError
}

func (p *parser) fail(line int, field, message string) {
	p.errs = append(p.errs, &yamldoc.FieldError{
		Line:    line,
		Field:   field,
		Message: message,
	})
}

func (p *parser) parseFile(content []byte) {
	if len(content) > MaxBytes {
		p.fail(1, "", "the file is larger than 1 MiB")
		return
	}
	for i, text := range strings.Split(string(content), "\n") {
		text = strings.TrimSpace(text)
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		p.parseLine(i+1, text)
	}
	if len(p.errs) > 0 {
		return
	}
	p.errs = append(p.errs, p.builder.resolveRoutes()...)
}

func (p *parser) parseLine(number int, text string) {
	rule, ok := strings.CutPrefix(text, "- ")
	if !ok {
		p.fail(number, "", "want one rule per line, such as - {kind: {name: ...}}  # requester")
		return
	}
	var message pb.Rule
	d := &yamldoc.Decoder{
		LineOffset: number - 1,
	}
	if errs := d.Decode([]byte(rule), &message); len(errs) > 0 {
		p.errs = append(p.errs, errs...)
		return
	}
	askedBy := trailingComment(rule)
	if askedBy == "" {
		p.fail(number, "", "the comment that names the requester is missing")
		return
	}
	ruleLine := tarragonwell.RuleLine{
		Number:  number,
		Text:    text,
		AskedBy: askedBy,
	}
	p.errs = append(p.errs, p.builder.add(&message, d, ruleLine)...)
}

// trailingComment returns the text of the comment at the end of a line, or an
// empty string.
func trailingComment(line string) string {
	for _, t := range lexer.Tokenize(line) {
		if t.Type == token.CommentType {
			return strings.TrimSpace(t.Value)
		}
	}
	return ""
}
