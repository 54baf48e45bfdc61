//! Layout of structured lines: one JSON object a line.

use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::layout::text::jiff::Timestamp;
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use serde_json::{Map, Value};

/// Writes the time, level, message and fields of a line as one flat JSON object.
#[derive(Debug)]
pub(super) struct JsonLayout;

impl Layout for JsonLayout {
    fn format(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        let mut fields = Fields(Map::new());
        // The time is left out if the clock is outside the range of the calendar.
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
            .map_err(|error| Error::new("log line can't be serialised as JSON").with_source(error))
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
