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
    And the order "lost-answer" ran once

  Scenario: an order while the log is down
    Given the log is down
    When the order "log-down" is sent to i1
    Then the caller is told "not_run" with a time to come back
    And the order "log-down" did not run
    Given the log is up
    When the order "log-down" is sent until i1 answers it
    Then the order "log-down" ran once
