// Package rulesfile reads the operators' rules file: YAML, one rule a line,
// each with a comment that names who asked for it. A file is accepted whole or
// refused whole, from its bytes alone.
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

// MaxBytes is the largest file that the configuration service holds.
const MaxBytes = 1 << 20

// ErrInvalid is the root of the errors of a refused file; each fault within is
// a *yamldoc.FieldError.
var ErrInvalid = eris.New("the rules file is refused")

// Parse checks a file and returns its rules. The name is used in errors.
func Parse(name string, revision uint64, content []byte) (*tarragonwell.RuleSet, error) {
	p := &parser{
		builder: newBuilder(),
	}
	p.file(content)
	if len(p.errs) > 0 {
		return nil, refusal(name, p.errs)
	}
	set := p.builder.set
	set.Version = VersionOf(revision, content)
	set.Content = bytes.Clone(content)
	return set, nil
}

// VersionOf names the version of a file.
func VersionOf(revision uint64, content []byte) tarragonwell.RulesVersion {
	digest := sha256.Sum256(content)
	return tarragonwell.RulesVersion{
		Revision: revision,
		Digest:   digest[:],
	}
}

func refusal(name string, errs []*yamldoc.FieldError) error {
	all := []error{ErrInvalid}
	for _, e := range errs {
		e.File = name
		all = append(all, e)
	}
	return errors.Join(all...)
}

// parser goes through the lines of one file.
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

func (p *parser) file(content []byte) {
	if len(content) > MaxBytes {
		p.fail(1, "", "the file is larger than 1 MiB")
		return
	}
	for i, text := range strings.Split(string(content), "\n") {
		text = strings.TrimSpace(text)
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		p.line(i+1, text)
	}
	if len(p.errs) > 0 {
		return
	}
	p.errs = append(p.errs, p.builder.link()...)
}

func (p *parser) line(number int, text string) {
	rule, ok := strings.CutPrefix(text, "- ")
	if !ok {
		p.fail(number, "", "want one rule a line, as - {kind: {name: ...}}  # who asked")
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
	askedBy := comment(rule)
	if askedBy == "" {
		p.fail(number, "", "the comment that names who asked is missing")
		return
	}
	l := tarragonwell.RuleLine{
		Number:  number,
		Text:    text,
		AskedBy: askedBy,
	}
	p.errs = append(p.errs, p.builder.add(&message, d, l)...)
}

// comment returns the text of the comment that ends a line.
func comment(line string) string {
	for _, t := range lexer.Tokenize(line) {
		if t.Type == token.CommentType {
			return strings.TrimSpace(t.Value)
		}
	}
	return ""
}
