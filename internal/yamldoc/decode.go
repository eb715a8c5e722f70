// Package yamldoc decodes YAML documents into protobuf messages and validates
// their fields. Every error names the line and the field.
package yamldoc

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// FieldError is an error in a document.
type FieldError struct {
	// File is the name of the file. Decoder and Checker leave it empty.
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field, such as "listen.callers", or empty.
	Field   string
	Message string
}

// Error implements error in the form file:line: field: message.
func (e *FieldError) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File + ":")
	}
	if e.Line > 0 {
		b.WriteString(strconv.Itoa(e.Line) + ": ")
	} else if e.File != "" {
		b.WriteString(" ")
	}
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Message)
	return b.String()
}

// Decoder decodes one document. The zero value is ready to use.
type Decoder struct {
	// LineOffset is the number of lines before the document in its file. It is
	// added to all line numbers.
	LineOffset int
	// EmptyIsUnset makes a field without a value, such as "name:", count as not set. It is
	// an error otherwise.
	EmptyIsUnset bool
	// fieldLines holds the line where each field is set, by path.
	fieldLines map[string]int
	errs       []*FieldError
}

// Decode sets the fields of m from the content, which may be empty and contains
// at most one YAML document. It may be called once: the errors of an earlier call
// would be returned again.
func (d *Decoder) Decode(content []byte, m proto.Message) []*FieldError {
	d.fieldLines = map[string]int{}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return []*FieldError{d.syntaxError(err)}
	}
	if len(file.Docs) > 1 {
		d.fail(file.Docs[1].Body, "", "want a single YAML document")
		return d.errs
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil
	}
	d.decodeMessage(file.Docs[0].Body, "", m.ProtoReflect())
	return d.errs
}

// Line returns the line where a field is set, or 0 if it is not set.
func (d *Decoder) Line(path string) int {
	return d.fieldLines[path]
}

// syntaxError extracts the line from the parser's message, which has the form
// "[line:column] ...".
func (d *Decoder) syntaxError(err error) *FieldError {
	text, _, _ := strings.Cut(err.Error(), "\n")
	line := 1
	if rest, ok := strings.CutPrefix(text, "["); ok {
		position, message, _ := strings.Cut(rest, "] ")
		number, _, _ := strings.Cut(position, ":")
		if n, convErr := strconv.Atoi(number); convErr == nil {
			line = n
			text = message
		}
	}
	return &FieldError{
		Line:    line + d.LineOffset,
		Message: "not valid YAML: " + text,
	}
}

func (d *Decoder) fail(n ast.Node, path, format string, args ...any) {
	d.errs = append(d.errs, &FieldError{
		Line:    d.lineOf(n),
		Field:   path,
		Message: fmt.Sprintf(format, args...),
	})
}

func (d *Decoder) lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line + d.LineOffset
}

func (d *Decoder) decodeMessage(n ast.Node, path string, m protoreflect.Message) {
	values, ok := mappingValues(n)
	if !ok {
		if n.Type() != ast.NullType {
			d.fail(n, path, "want a mapping, such as {name: value}")
		}
		return
	}
	seen := map[string]bool{}
	for _, v := range values {
		name := keyName(v.Key)
		fieldPath := joinPath(path, name)
		if seen[name] {
			d.fail(v.Key, fieldPath, "duplicate field")
			continue
		}
		seen[name] = true
		f := m.Descriptor().Fields().ByJSONName(name)
		if f == nil {
			d.fail(v.Key, fieldPath, "unknown field; known fields are %s", knownFields(m.Descriptor()))
			continue
		}
		if d.EmptyIsUnset && v.Value.Type() == ast.NullType {
			continue
		}
		d.fieldLines[fieldPath] = d.lineOf(v.Key)
		d.decodeField(v.Value, fieldPath, m, f)
	}
}

func (d *Decoder) decodeField(n ast.Node, path string, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	if f.IsList() {
		d.decodeList(n, path, m, f)
		return
	}
	if f.Kind() == protoreflect.MessageKind {
		d.decodeMessage(n, path, m.Mutable(f).Message())
		return
	}
	if v, ok := d.decodeScalar(n, path, f); ok {
		m.Set(f, v)
	}
}

func (d *Decoder) decodeList(n ast.Node, path string, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	sequence, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fail(n, path, "want a list, such as [a, b]")
		return
	}
	list := m.Mutable(f).List()
	for i, x := range sequence.Values {
		if v, valid := d.decodeScalar(x, fmt.Sprintf("%s[%d]", path, i), f); valid {
			list.Append(v)
		}
	}
}

func (d *Decoder) decodeScalar(n ast.Node, path string, f protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	var v protoreflect.Value
	text, isString, ok := scalarText(n)
	if !ok {
		d.fail(n, path, "want a single value")
		return v, false
	}
	switch f.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), true
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(text)
		if err == nil && !isString {
			return protoreflect.ValueOfBool(b), true
		}
		d.fail(n, path, "want true or false, got %q", text)
	case protoreflect.Uint32Kind:
		u, err := strconv.ParseUint(text, 10, 32)
		if err == nil {
			return protoreflect.ValueOfUint32(uint32(u)), true
		}
		d.fail(n, path, "want a non-negative integer, got %q", text)
	case protoreflect.Uint64Kind:
		u, err := strconv.ParseUint(text, 10, 64)
		if err == nil {
			return protoreflect.ValueOfUint64(u), true
		}
		d.fail(n, path, "want a non-negative integer, got %q", text)
	case protoreflect.DoubleKind:
		x, err := strconv.ParseFloat(text, 64)
		if err == nil {
			return protoreflect.ValueOfFloat64(x), true
		}
		d.fail(n, path, "want a number, got %q", text)
	default:
		d.fail(n, path, "fields of type %s are not supported", f.Kind())
	}
	return v, false
}

// scalarText returns the text of a scalar as it is written in the document.
func scalarText(n ast.Node) (text string, isString, ok bool) {
	switch x := n.(type) {
	case *ast.StringNode:
		return x.Value, true, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, false, true
	default:
		return "", false, false
	}
}

func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch x := n.(type) {
	case *ast.MappingNode:
		return x.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{x}, true
	default:
		return nil, false
	}
}

func keyName(k ast.MapKeyNode) string {
	if s, ok := k.(*ast.StringNode); ok {
		return s.Value
	}
	return k.String()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func knownFields(m protoreflect.MessageDescriptor) string {
	var names []string
	for i := range m.Fields().Len() {
		names = append(names, m.Fields().Get(i).JSONName())
	}
	return strings.Join(names, ", ")
}
