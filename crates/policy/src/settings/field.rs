//! Reads a configuration value with its type and range, or names its key in an error.

use serde_json::Value;

/// Maximum number of characters of an invalid value in an error.
const MAX_SHOWN_LEN: usize = 60;

/// Why settings cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The text is not JSON.
    NotJson {
        /// What the parser found.
        reason: String,
    },
    /// A value is not of its type and range.
    InvalidValue(InvalidValue),
}

/// A configuration value that is not of its type and range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// The path of its key.
    path: String,
    /// The name of the list entry that it belongs to.
    entry_name: Option<String>,
    /// The value, shortened.
    found: String,
    /// What is valid, in words.
    expected: String,
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotJson { reason } => write!(f, "unreadable settings: {reason}"),
            Self::InvalidValue(invalid) => invalid.fmt(f),
        }
    }
}

impl std::fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.path)?;
        if let Some(name) = &self.entry_name {
            write!(f, " ({name:?})")?;
        }
        write!(f, " is {}: {} is wanted", self.found, self.expected)
    }
}

impl std::error::Error for ReadError {}

/// The valid range of a number, in words and as a predicate.
#[derive(Clone, Copy, Debug)]
pub struct Range {
    expected: &'static str,
    contains: fn(f64) -> bool,
}

impl Range {
    /// Any number.
    pub const ANY: Self = Self::new("a number", |_| true);

    /// The numbers that `contains` holds for, which `expected` describes.
    pub const fn new(expected: &'static str, contains: fn(f64) -> bool) -> Self {
        Self { expected, contains }
    }
}

/// A configuration value, with the path of its key.
#[derive(Clone, Debug)]
pub struct Field<'a> {
    value: &'a Value,
    path: String,
    /// The name of the list entry that it belongs to.
    entry_name: Option<&'a str>,
}

impl<'a> Field<'a> {
    /// The whole configuration, or a part of it with its path.
    pub fn new(value: &'a Value, path: &str) -> Self {
        Self { value, path: path.to_owned(), entry_name: None }
    }

    /// The value of an object's key; null where there is none.
    #[must_use]
    pub fn child(&self, key: &str) -> Self {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        let value = self.value.get(key).unwrap_or(&Value::Null);
        Self { value, path, entry_name: self.entry_name }
    }

    /// An entry of a list; null where there is none.
    #[must_use]
    pub fn at(&self, index: usize) -> Self {
        let value = self.value.get(index).unwrap_or(&Value::Null);
        let entry_name = value.get("name").and_then(Value::as_str).filter(|name| !name.is_empty());
        Self { value, path: format!("{}[{index}]", self.path), entry_name }
    }

    /// Number of entries of a list; 0 where there is none.
    pub fn len(&self) -> usize {
        self.value.as_array().map_or(0, Vec::len)
    }

    /// Whether it has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the key is missing, or its value is null.
    pub fn is_missing(&self) -> bool {
        self.value.is_null()
    }

    /// The value itself.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// Reads each entry of a list, none if it is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is not a list, or an entry cannot be read.
    pub fn map<T>(&self, read: impl Fn(Self) -> Result<T, ReadError>) -> Result<Vec<T>, ReadError> {
        match self.value {
            Value::Null | Value::Array(_) => (0..self.len()).map(|index| read(self.at(index))).collect(),
            _ => Err(self.invalid("a list")),
        }
    }

    /// A number within a range.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is none.
    pub fn number(&self, range: Range) -> Result<f64, ReadError> {
        let number = self.value.as_f64().filter(|&number| number.is_finite() && (range.contains)(number));
        number.ok_or_else(|| self.invalid(range.expected))
    }

    /// The same, or `default` if it is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is present and invalid.
    pub fn number_or(&self, default: f64, range: Range) -> Result<f64, ReadError> {
        if self.is_missing() { Ok(default) } else { self.number(range) }
    }

    /// A whole number, `min` or more; it may be written as 8 or as 8.0.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is none.
    pub fn whole(&self, min: u32) -> Result<u32, ReadError> {
        let range = f64::from(min)..=f64::from(u32::MAX);
        let is_valid = |number: &f64| number.fract() == 0.0 && range.contains(number);
        let whole = self.value.as_f64().filter(is_valid).map(|number| number as u32);
        whole.ok_or_else(|| self.invalid(&format!("a whole number from {min} to {}", u32::MAX)))
    }

    /// The same, or `default` if it is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is present and invalid.
    pub fn whole_or(&self, default: u32, min: u32) -> Result<u32, ReadError> {
        if self.is_missing() { Ok(default) } else { self.whole(min) }
    }

    /// A boolean, or `default` if it is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is neither true nor false.
    pub fn flag_or(&self, default: bool) -> Result<bool, ReadError> {
        match self.value {
            Value::Null => Ok(default),
            Value::Bool(flag) => Ok(*flag),
            _ => Err(self.invalid("true or false")),
        }
    }

    /// A string, or `default` if it is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is none.
    pub fn text_or(&self, default: &'a str) -> Result<&'a str, ReadError> {
        match self.value {
            Value::Null => Ok(default),
            Value::String(text) => Ok(text),
            _ => Err(self.invalid("a text")),
        }
    }

    /// The variant of a name.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is none of them.
    pub fn variant<T: Copy>(&self, variants: &[(&str, T)]) -> Result<T, ReadError> {
        let name = self.value.as_str();
        let variant = variants.iter().find(|(known, _)| name == Some(known));
        variant.map(|&(_, variant)| variant).ok_or_else(|| {
            let names: Vec<String> = variants.iter().map(|(known, _)| format!("{known:?}")).collect();
            self.invalid(&format!("one of {}", names.join(", ")))
        })
    }

    /// The same, or `default` if it is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if it is present and none of them.
    pub fn variant_or<T: Copy>(&self, default: T, variants: &[(&str, T)]) -> Result<T, ReadError> {
        if self.is_missing() { Ok(default) } else { self.variant(variants) }
    }

    /// The error that names this key, its value and what is valid.
    pub fn invalid(&self, expected: &str) -> ReadError {
        let value = if self.is_missing() { "missing".to_owned() } else { self.value.to_string() };
        let mut found: String = value.chars().take(MAX_SHOWN_LEN).collect();
        if found.len() < value.len() {
            found.push_str("...");
        }
        ReadError::InvalidValue(InvalidValue {
            path: self.path.clone(),
            entry_name: self.entry_name.map(str::to_owned),
            found,
            expected: expected.to_owned(),
        })
    }
}
