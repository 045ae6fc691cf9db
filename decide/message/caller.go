package message

// ServiceOf returns the service of a caller's message, or 0 for other messages.
func ServiceOf(body Body) ServiceID {
	switch m := body.(type) {
	case *Open:
		return m.Service
	case *Request:
		return m.Service
	case *Cancel:
		return m.Service
	case *Close:
		return m.Service
	default:
		return 0
	}
}

// FlowOf returns the flow of a caller's message, or the zero id for other messages.
func FlowOf(body Body) FlowID {
	switch m := body.(type) {
	case *Open:
		return m.Flow
	case *Request:
		return m.Flow
	case *Cancel:
		return m.Flow
	case *Close:
		return m.Flow
	default:
		return FlowID{}
	}
}

// BindingOf returns the binding of a caller's message, or the zero binding for other
// messages.
func BindingOf(body Body) Binding {
	switch m := body.(type) {
	case *Open:
		return m.Binding
	case *Request:
		return m.Binding
	case *Cancel:
		return m.Binding
	case *Close:
		return m.Binding
	default:
		return Binding{}
	}
}
