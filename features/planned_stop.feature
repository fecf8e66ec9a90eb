@instances.3
Feature: A planned stop of an instance cuts no request

  Scenario: an entry is terminated while it streams
    Given 4 long streams run at i2
    When the entry of i2 is terminated
    Then discovery names i2 no more within 5 seconds
    And new requests at i2 are told to come back elsewhere
    And all long streams arrive whole
    And the entry of i2 ends by itself

  Scenario: an operator drains an entry while it streams
    Given 4 long streams run at i3
    When an operator drains i3
    Then discovery names i3 no more within 5 seconds
    And new requests at i3 are told to come back elsewhere
    And all long streams arrive whole
    And the entry of i3 ends by itself
