// Package random fills the protobuf messages that hosts exchange with random content, for tests that
// look for input that crashes a process.
package random

import (
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Fill sets each field of m to a random value with a probability of two in three, and one field of
// each oneof. It fills nested messages down to the given depth and leaves maps empty. Names and
// numbers come from small sets, so that messages often refer to what earlier ones created.
func Fill(r *rand.Rand, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if oneof := f.ContainingOneof(); oneof != nil {
			if i != oneof.Fields().Get(0).Index() {
				continue
			}
			f = oneof.Fields().Get(r.IntN(oneof.Fields().Len()))
		} else if r.IntN(3) == 0 {
			continue
		}
		switch {
		case f.IsMap():
		case f.IsList():
			for range r.IntN(3) {
				list := m.Mutable(f).List()
				if f.Message() == nil {
					list.Append(randomScalar(r, f))
				} else if depth > 0 {
					v := list.NewElement()
					Fill(r, v.Message(), depth-1)
					list.Append(v)
				}
			}
		case f.Message() != nil:
			if depth > 0 {
				Fill(r, m.Mutable(f).Message(), depth-1)
			}
		default:
			m.Set(f, randomScalar(r, f))
		}
	}
}

// randomScalar returns a random value for a field that is not a message.
func randomScalar(r *rand.Rand, f protoreflect.FieldDescriptor) protoreflect.Value {
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(r.IntN(2) == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(r.IntN(9) - 1))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString([]string{"", "a", "b", "groups", "hosts", "manifests", "current"}[r.IntN(7)])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(fmt.Sprint(`{"a":`, r.IntN(3), "}")))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(r.Uint64N(4))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(r.Uint32N(4))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(r.Int32N(4) - 1)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(r.Float64())
	}
	return protoreflect.ValueOfInt64(r.Int64N(4) - 1)
}
