//! Layout of a structured line: one JSON object.

use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::layout::text::jiff::Timestamp;
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use serde_json::{Map, Value};

/// Time, level, message and the line's own fields, all at one depth.
#[derive(Debug)]
pub(super) struct JsonLine;

impl Layout for JsonLine {
    fn format(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        let mut fields = Fields(Map::new());
        // A clock outside the calendar's range leaves the line without a time.
        if let Ok(time) = Timestamp::try_from(record.time()) {
            fields
                .0
                .insert("time".to_owned(), Value::from(format!("{time:.3}")));
        }
        let level = record.level().name().to_owned();
        fields.0.insert("level".to_owned(), Value::from(level));
        let message = record.payload().to_string();
        fields.0.insert("message".to_owned(), Value::from(message));
        record.key_values().visit(&mut fields)?;
        for diagnostic in diagnostics {
            diagnostic.visit(&mut fields)?;
        }
        serde_json::to_vec(&fields.0)
            .map_err(|error| Error::new("line can't be written").with_source(error))
    }
}

struct Fields(Map<String, Value>);

impl Visitor for Fields {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let value = match value {
            ValueView::None => Value::Null,
            ValueView::Bool(flag) => Value::from(flag),
            ValueView::I64(number) => Value::from(number),
            ValueView::U64(number) => Value::from(number),
            ValueView::F64(number) => Value::from(number),
            other => Value::from(other.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
