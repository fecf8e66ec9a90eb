Feature: A non-idempotent request runs at most once

  Scenario: the same order at two instances at the same moment
    When an order is sent to i1 and i2 at the same moment
    Then the order ran once
    And both callers hold the same answer or were told to ask again

  Scenario: an order repeated after its answer was lost
    Given the plain services lose the answers of the next 1 calls
    When the order "lost-answer" is sent to i1
    Then the caller is told "unknown"
    When the order "lost-answer" is sent to i2
    Then the caller is told "unknown"
    When the order "lost-answer" is sent to i3
    Then the caller is told "unknown" for good
    And the order "lost-answer" ran once

  Scenario: an order while the log is down
    Given the log is down
    When the order "log-down" is sent to i1
    Then the caller is told "not_run" with a time to come back
    And the order "log-down" did not run
    Given the log is up
    When the order "log-down" is sent to i1 until an answer comes
    Then the order "log-down" ran once

  Scenario: orders while the log takes appends and loses their answers
    Given the log loses the answers of all appends
    When the order "append-1" is sent to i1
    And the order "append-1" is sent to i2
    And the order "append-2" is sent to i3
    Given the log is up
    When the order "append-1" is sent to i2 until an answer comes
    And the order "append-2" is sent to i1 until an answer comes
    Then the order "append-1" ran once
    And the order "append-2" ran once

  Scenario: an instance is killed while its order runs
    Given the plain services answer after 3 s
    When the order "killed" is sent to i1 in the background
    And the order "killed" has run
    And the entry of i1 is killed
    And the order "killed" is sent to i2
    Then the caller is told "unknown"
    When the order "killed" is sent to i3
    Then the caller is told "unknown"
    And the order "killed" ran once

  Scenario: an instance is killed between its claim and the call
    Given the platform's answers to i1 are held
    When the order "claimed" is sent to i1 in the background
    And the claim on "claimed" is in the log
    And the entry of i1 is killed
    And the order "claimed" is sent to i2
    Then the caller is told "unknown"
    And the order "claimed" did not run

  Scenario: an instance is paused between its claim and the call
    Given the platform's answers to i1 are held
    When the order "paused" is sent to i1 in the background
    And the claim on "paused" is in the log
    And the entry of i1 is paused
    And the platform's answers to i1 pass again
    And the order "paused" is sent to i2
    Then the caller is told "unknown"
    When the entry of i1 goes on after the bound of 4 s
    Then the caller in the background is told "not_run"
    And the order "paused" did not run
    When the order "paused" is sent to i2 until an answer comes
    Then the order "paused" ran once

  Scenario: orders of the same content run after others timed out
    Given the plain services hang
    When the orders "slow-1", "slow-2" and "slow-3" are sent to i1 at once
    Then all of them are told "unknown"
    Given the plain services answer after 0 s
    When the order "slow-4" is sent to i1
    Then the caller is told "whole"
    When the order "slow-5" is sent to i2
    Then the caller is told "whole"

  Scenario: a payment without a key whose upstream hangs
    Given the plain services hang
    When the payment "hangs" is sent to i1
    Then the caller is told "unknown"
    And the payment "hangs" ran at most once

  Scenario: a payment that runs after its caller was answered
    Given the plain services run calls after 5 s
    When the payment "late" is sent to i1
    Then the caller is told "unknown"
    When the payment "late" has run
    Then the payment "late" ran at most once

  Scenario: connections drop before a request is run
    Given the plain services drop the next 1 calls before they run
    When the payment "dropped" is sent to i1
    Then the caller is told "unknown"
    And the payment "dropped" ran at most once
    Given the plain services drop the next 1 calls before they run
    When the order "dropped" is sent to i1
    Then the caller is told "unknown"
    When the order "dropped" is sent to i2
    Then the caller is told "unknown"
    And the order "dropped" did not run

  Scenario: a connection drops after a payment was run
    Given the plain services lose the answers of the next 1 calls
    When the payment "lost" is sent to i1
    Then the caller is told "unknown"
    And the payment "lost" ran at most once

  Scenario: the whole history
    Then the history keeps the promises about requests
