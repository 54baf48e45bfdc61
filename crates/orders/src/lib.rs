//! Model, adapter, version and role orders to engines.
