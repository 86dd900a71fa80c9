//! The identifier of a message.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;

/// The identifier of a message, chosen by its client. A clone shares the text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(Rc<str>);

impl Deref for MessageId {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for MessageId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for MessageId {
    fn from(id: &str) -> Self {
        Self(id.into())
    }
}

impl From<String> for MessageId {
    fn from(id: String) -> Self {
        Self(id.into())
    }
}

impl From<Rc<str>> for MessageId {
    fn from(id: Rc<str>) -> Self {
        Self(id)
    }
}

impl fmt::Debug for MessageId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, formatter)
    }
}

impl fmt::Display for MessageId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}
