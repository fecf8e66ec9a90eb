Feature: The promises about requests hold over concurrent histories with faults

  Scenario Outline: a seeded schedule of calls and faults
    When the calls of seed <seed> are sent while its faults come and go
    And every order of seed <seed> is sent again to each instance
    Then calls of every kind were answered
    And the history keeps the promises about requests

    Examples:
      | seed |
      | 11   |
      | 12   |
