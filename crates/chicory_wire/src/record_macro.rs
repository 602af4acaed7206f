//! Macros for conversions between types with the same fields or variants.

/// Implements both conversions between a domain type and a message with the same fields.
///
/// `plain` fields have the same type on both sides, `nested` fields are required messages, and
/// `list` fields are repeated messages.
macro_rules! convert_record {
    ($domain:ty, $message:ty {
        plain: [$($plain:ident),*],
        nested: [$($nested:ident),*],
        list: [$($list:ident),*] $(,)?
    }) => {
        impl From<$domain> for $message {
            fn from(value: $domain) -> Self {
                Self {
                    $($plain: value.$plain,)*
                    $($nested: Some(value.$nested.into()),)*
                    $($list: $crate::convert_error::into_messages(value.$list),)*
                }
            }
        }

        impl TryFrom<$message> for $domain {
            type Error = $crate::ConvertError;

            fn try_from(message: $message) -> Result<Self, $crate::ConvertError> {
                Ok(Self {
                    $($plain: message.$plain,)*
                    $($nested: $crate::convert_error::required(message.$nested, stringify!($nested))?
                        .try_into()?,)*
                    $($list: $crate::convert_error::from_messages(message.$list)?,)*
                })
            }
        }
    };
}

/// Implements both conversions between an enum without fields and its message.
macro_rules! convert_enum {
    ($domain:ty, $message:ty, [$($variant:ident),* $(,)?]) => {
        impl From<$domain> for $message {
            fn from(value: $domain) -> Self {
                match value {
                    $(<$domain>::$variant => Self::$variant,)*
                }
            }
        }

        impl From<$message> for $domain {
            fn from(message: $message) -> Self {
                match message {
                    $(<$message>::$variant => Self::$variant,)*
                }
            }
        }
    };
}

pub(crate) use {convert_enum, convert_record};
