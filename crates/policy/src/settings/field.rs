//! A value of the configuration and the key it stands under: read with its type and range, or refused. No decision.

use serde_json::Value;

/// How much of a value that is refused goes into the message.
const MOST_SHOWN: usize = 60;

/// A value that cannot be used; names its key, what stands there and what would be right, in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadError(pub(super) String);

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ReadError {}

/// What a number must be, in words and as a test of it.
#[derive(Clone, Copy, Debug)]
pub struct Range {
    wanted: &'static str,
    fits: fn(f64) -> bool,
}

impl Range {
    /// Any number.
    pub const ANY: Self = Self::new("a number", |_| true);

    /// One that `fits` tells, which `wanted` says in words.
    pub const fn new(wanted: &'static str, fits: fn(f64) -> bool) -> Self {
        Self { wanted, fits }
    }
}

/// A value of the configuration, with the key that it stands under.
#[derive(Clone, Debug)]
pub struct Field<'a> {
    value: &'a Value,
    path: String,
    /// What the entry of a list that it belongs to calls itself.
    name: Option<&'a str>,
}

impl<'a> Field<'a> {
    /// The whole configuration, or a part of it under its key.
    pub fn new(value: &'a Value, path: &str) -> Self {
        Self { value, path: path.to_owned(), name: None }
    }

    /// What stands under a key of an object.
    #[must_use]
    pub fn child(&self, key: &str) -> Self {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        Self { value: self.value.get(key).unwrap_or(&Value::Null), path, name: self.name }
    }

    /// An entry of a list.
    #[must_use]
    pub fn at(&self, index: usize) -> Self {
        let value = self.value.get(index).unwrap_or(&Value::Null);
        let name = value.get("name").and_then(Value::as_str).filter(|name| !name.is_empty());
        Self { value, path: format!("{}[{index}]", self.path), name }
    }

    /// Entries of a list; 0 where there is none.
    pub fn len(&self) -> usize {
        self.value.as_array().map_or(0, Vec::len)
    }

    /// Whether it has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the key is not there, or holds null.
    pub fn is_missing(&self) -> bool {
        self.value.is_null()
    }

    /// The value as it stands.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// Reads each entry of a list, which may be missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is no list, or an entry cannot be read.
    pub fn map<T>(&self, read: impl Fn(Self) -> Result<T, ReadError>) -> Result<Vec<T>, ReadError> {
        match self.value {
            Value::Null | Value::Array(_) => (0..self.len()).map(|i| read(self.at(i))).collect(),
            _ => Err(self.refuse("a list")),
        }
    }

    /// A number within a range.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is none.
    pub fn number(&self, range: Range) -> Result<f64, ReadError> {
        let number = self.value.as_f64().filter(|&x| x.is_finite() && (range.fits)(x));
        number.ok_or_else(|| self.refuse(range.wanted))
    }

    /// The same, with a value for one that is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is there and is none.
    pub fn number_or(&self, default: f64, range: Range) -> Result<f64, ReadError> {
        if self.is_missing() { Ok(default) } else { self.number(range) }
    }

    /// A whole number, `least` or more; it may be written as 8 or as 8.0.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is none.
    pub fn whole(&self, least: u32) -> Result<u32, ReadError> {
        let fits = |&x: &f64| x.fract() == 0.0 && x >= f64::from(least) && x <= f64::from(u32::MAX);
        let whole = self.value.as_f64().filter(fits).map(|x| x as u32);
        whole.ok_or_else(|| self.refuse(&format!("a whole number from {least} to {}", u32::MAX)))
    }

    /// The same, with a value for one that is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is there and is none.
    pub fn whole_or(&self, default: u32, least: u32) -> Result<u32, ReadError> {
        if self.is_missing() { Ok(default) } else { self.whole(least) }
    }

    /// A yes or no, with a value for one that is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is neither.
    pub fn flag_or(&self, default: bool) -> Result<bool, ReadError> {
        match self.value {
            Value::Null => Ok(default),
            Value::Bool(flag) => Ok(*flag),
            _ => Err(self.refuse("true or false")),
        }
    }

    /// A text, with a value for one that is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is none.
    pub fn text_or(&self, default: &'a str) -> Result<&'a str, ReadError> {
        match self.value {
            Value::Null => Ok(default),
            Value::String(text) => Ok(text),
            _ => Err(self.refuse("a text")),
        }
    }

    /// What one of some words stands for.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is none of them.
    pub fn word<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, ReadError> {
        let told = self.value.as_str();
        let found = words.iter().find(|(word, _)| told == Some(word)).map(|&(_, meaning)| meaning);
        found.ok_or_else(|| {
            let words: Vec<String> = words.iter().map(|(word, _)| format!("{word:?}")).collect();
            self.refuse(&format!("one of {}", words.join(", ")))
        })
    }

    /// The same, with a value for one that is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is there and is none of them.
    pub fn word_or<T: Copy>(&self, default: T, words: &[(&str, T)]) -> Result<T, ReadError> {
        if self.is_missing() { Ok(default) } else { self.word(words) }
    }

    /// The error that says what would be right in place of what stands there.
    pub fn refuse(&self, wanted: &str) -> ReadError {
        let told = if self.is_missing() { "missing".to_owned() } else { self.value.to_string() };
        let mut shown: String = told.chars().take(MOST_SHOWN).collect();
        if shown.len() < told.len() {
            shown.push_str("...");
        }
        let name = self.name.map(|name| format!(" ({name:?})")).unwrap_or_default();
        ReadError(format!("{}{name} is {shown}: {wanted} is wanted", self.path))
    }
}
